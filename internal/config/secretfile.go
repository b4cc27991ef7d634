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
	// minSecretBytes is the length of a SHA-256 digest. A shorter secret weakens
	// HMAC-SHA256.
	minSecretBytes = 32
	// maxSecrets allows for the old and the new secret during a rotation.
	maxSecrets = 2
	// maxSecretFileBytes bounds the read if the path names a wrong file.
	maxSecretFileBytes = 4 << 10
	// groupOtherPerm is the mask of the permissions of the group and of others,
	// which a file with a secret should not grant.
	groupOtherPerm = 0o077
)

// secretFile returns the decoder of the path of a file with peer secrets, one per
// line. A relative path is relative to the directory of the settings file.
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
			d.reject(n, path, err.Error(), expected)
			return
		}
		if mode&groupOtherPerm != 0 {
			d.warn(n, path, fmt.Sprintf("the file has mode %#o, and other users may access it", mode), "mode 0600 or 0400")
		}
		if *to, err = parseSecrets(data); err != nil {
			d.reject(n, path, err.Error(), expected)
		}
	}
}

// readSecretFile returns the content and the permissions of a file.
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
	data, err := io.ReadAll(io.LimitReader(file, maxSecretFileBytes+1))
	if err == nil && len(data) > maxSecretFileBytes {
		err = fmt.Errorf("the file is larger than %d bytes", maxSecretFileBytes)
	}
	return data, info.Mode().Perm(), err
}

// parseSecrets splits the content of a secret file. Its errors never quote a
// secret.
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
