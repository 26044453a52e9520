package exchanger

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders hold for one connection only (RFC 9110, section 7.6.1) and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEnd copies the headers that are not bound to one connection.
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
