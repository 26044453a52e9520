package exchanger

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1) and are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd returns a copy without the headers that apply to one connection only; it is never nil.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = http.Header{}
	}
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}
