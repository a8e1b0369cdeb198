package edge

import (
	"path"
	"strings"

	"merlintiller/internal/protocol"
)

// service serves /v1/services/{service}/...: the rest of the path goes to a
// target of a plain service. Model services are reached by their models only,
// since their engines take orders on other paths.
func (e *Edge) service(x *exchange) {
	name := protocol.ServiceName(x.r.PathValue("service"))
	service, ok := e.opts.Fleet().Services[name]
	if !ok || service.Kind != protocol.KindPlain {
		x.refuse(protocol.Refuse(protocol.CodeNotFound, 0, "no plain service %q", name))
		return
	}
	rest := "/" + x.r.PathValue("rest")
	if path.Clean(rest) != strings.TrimSuffix(rest, "/") && rest != "/" {
		x.refuse(protocol.Refuse(protocol.CodeBadRequest, 0, "the path has empty or dot segments"))
		return
	}
	body, ok := e.readBody(x)
	if !ok {
		return
	}
	e.serve(x, e.request(x, name, targetPath(x), body))
}

// targetPath is the escaped rest of the path with its query.
func targetPath(x *exchange) string {
	escaped := x.r.URL.EscapedPath()
	rest := strings.TrimPrefix(escaped, "/v1/services/")
	_, rest, _ = strings.Cut(rest, "/")
	if x.r.URL.RawQuery != "" {
		return "/" + rest + "?" + x.r.URL.RawQuery
	}
	return "/" + rest
}
