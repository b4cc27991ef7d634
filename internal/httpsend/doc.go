// Package httpsend sends HTTP requests to other systems and reports, for a
// failed request, whether any byte of it may have been sent. The automatic
// retries of net/http.Transport are suppressed for requests that must not be
// sent twice.
package httpsend
