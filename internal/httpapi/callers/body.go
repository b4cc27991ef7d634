package callers

// maxBodyBytes is the largest body of a request.
const maxBodyBytes = 1 << 20
