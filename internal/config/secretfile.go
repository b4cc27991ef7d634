package config

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"gentiantide.example/gentiantide/internal/config/strictjson"
	"gentiantide.example/gentiantide/internal/core"
)

const (
	// minSecretBytes is the length of a SHA-256 digest; a shorter secret weakens
	// HMAC-SHA256.
	minSecretBytes = 32
	// maxSecrets is one more than usual, for the time of a rotation.
	maxSecrets = 2
	// maxSecretFile bounds what is read if the path is that of another file.
	maxSecretFile = 4 << 10
	// othersMayRead are the permissions that a file with a secret should not
	// have.
	othersMayRead = 0o077
)

// secretFile reads the peer secrets, one a line, from the file that the value
// names. A relative path begins at the directory of the settings file.
func secretFile(to *[]core.Secret) func(*decoder, string, *strictjson.Node) {
	return func(d *decoder, path string, n *strictjson.Node) {
		const expected = "the path of a file with one line, or two during a rotation, of at least 32 bytes each"
		text, ok := d.text(path, n, expected)
		if !ok {
			return
		}
		name := text
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(d.file), name)
		}
		data, mode, err := readSecretFile(name)
		if err != nil {
			d.refuse(n, path, err.Error(), expected)
			return
		}
		if mode&othersMayRead != 0 {
			d.warn(n, path, fmt.Sprintf("the file has mode %#o, other users may access it", mode), "mode 0600 or 0400")
		}
		if *to, err = parseSecrets(data); err != nil {
			d.refuse(n, path, err.Error(), expected)
		}
	}
}

func readSecretFile(name string) ([]byte, os.FileMode, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, 0, err
	}
	data, err := io.ReadAll(io.LimitReader(file, maxSecretFile+1))
	if err == nil && len(data) > maxSecretFile {
		err = fmt.Errorf("the file is larger than %d bytes", maxSecretFile)
	}
	return data, info.Mode().Perm(), err
}

// parseSecrets returns the secrets. Its errors do not quote them.
func parseSecrets(data []byte) ([]core.Secret, error) {
	var secrets []core.Secret
	for i, line := range bytes.Split(bytes.TrimRight(data, "\r\n"), []byte("\n")) {
		line = bytes.TrimSpace(line)
		switch {
		case len(line) < minSecretBytes:
			return nil, fmt.Errorf("line %d of the file has %d bytes", i+1, len(line))
		case len(secrets) == maxSecrets:
			return nil, fmt.Errorf("the file has more than %d lines", maxSecrets)
		}
		secrets = append(secrets, core.NewSecret(line))
	}
	return secrets, nil
}
