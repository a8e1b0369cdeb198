package edge

import (
	"path"
	"strings"

	"merlintiller/internal/protocol"
)

// service serves /v1/services/{service}/... by forwarding the rest of the path to a
// target of a plain service. Model services can be called only by model name,
// because their engines accept control orders on other paths.
func (e *Edge) service(x *exchange) {
	name := protocol.ServiceName(x.r.PathValue("service"))
	service, ok := e.opts.Fleet().Services[name]
	if !ok || service.Kind != protocol.KindPlain {
		x.reject(protocol.Refuse(protocol.CodeNotFound, 0, "plain service %q does not exist", name))
		return
	}
	rest := "/" + x.r.PathValue("rest")
	if path.Clean(rest) != strings.TrimSuffix(rest, "/") && rest != "/" {
		x.reject(protocol.Refuse(protocol.CodeBadRequest, 0, "the path has empty or dot segments"))
		return
	}
	body, ok := e.readBody(x)
	if !ok {
		return
	}
	e.serve(x, e.newRequest(x, name, targetPath(x), body))
}

// targetPath returns the escaped path after the service name, with the query.
func targetPath(x *exchange) string {
	escaped := x.r.URL.EscapedPath()
	rest := strings.TrimPrefix(escaped, "/v1/services/")
	_, rest, _ = strings.Cut(rest, "/")
	if x.r.URL.RawQuery != "" {
		return "/" + rest + "?" + x.r.URL.RawQuery
	}
	return "/" + rest
}
