package edge

import (
	"slices"

	"merlintiller/internal/protocol"
)

// modelObject is OpenAI's model object.
type modelObject struct {
	ID      protocol.ModelName `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	OwnedBy string             `json:"owned_by"`
}

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func newModelObject(model protocol.Model) modelObject {
	return modelObject{ID: model.Name, Object: "model", OwnedBy: string(model.Service)}
}

// models serves GET /v1/models.
func (e *Edge) models(x *exchange) {
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, model := range e.opts.Fleet().Models {
		list.Data = append(list.Data, newModelObject(model))
	}
	slices.SortFunc(list.Data, func(a, b modelObject) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	writeJSON(x.w, list)
}

// model serves GET /v1/models/{model}.
func (e *Edge) model(x *exchange) {
	name := protocol.ModelName(x.r.PathValue("model"))
	model, ok := e.opts.Fleet().Models[name]
	if !ok {
		refusal := protocol.Refuse(protocol.CodeUnknownModel, 0, "model %q does not exist", name)
		refusal.Param = "model"
		x.reject(refusal)
		return
	}
	writeJSON(x.w, newModelObject(model))
}
