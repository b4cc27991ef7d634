package callers

import (
	"encoding/json"
	"net/http"

	"gentiantide.example/gentiantide/internal/httpapi"
	"gentiantide.example/gentiantide/internal/settings"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models of all deployments.
func (a *API) models(w http.ResponseWriter, r *http.Request) {
	snapshot := a.cfg.Settings()
	if _, refusal := httpapi.Authenticate(r, snapshot); refusal != nil {
		httpapi.WriteRefusal(w, refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, deployment := range snapshot.Deployments() {
		if deployment.Kind == settings.KindModel {
			list.Data = append(list.Data, modelItem{ID: deployment.Model, Object: "model", OwnedBy: "gentiantide"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
