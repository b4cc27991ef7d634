// Package httpsend sends HTTP requests to outside systems and reports, for a
// failed request, whether any byte of it may have left this process. A request
// that must not be repeated is never sent twice by the transport's own retries.
package httpsend
