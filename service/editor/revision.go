package editor

import (
	"fmt"
	"time"

	"celerygap.example/lib/codec"
	"celerygap.example/lib/identifier"
)

// KeptEdits is the number of latest edits that a catalogue keeps, so that a repeated edit is recognised.
const KeptEdits = 64

// nextCatalogue returns the catalogue that an edit leads to and the result to report once it is written. A nil catalogue
// means that nothing is to be written and that the result is final.
func nextCatalogue(current *codec.Catalogue, request *codec.EditRequest, now time.Time) (*codec.Catalogue, codec.EditResult) {
	if edit, ok := findEdit(current, request.EditID); ok {
		return nil, codec.EditResult{Status: codec.EditStatusAlreadyAccepted, Revision: edit.Revision}
	}
	if request.BaseRevision != current.Revision {
		return nil, conflict(current, request)
	}
	revision := current.Revision + 1
	edit := codec.Edit{EditID: request.EditID, Author: request.Author, Revision: revision, At: now.UTC(), Summary: request.Summary}
	next := &codec.Catalogue{
		Revision: revision,
		Entries:  append([]codec.Entry{}, request.Entries...),
		Pools:    append([]codec.Pool{}, request.Pools...),
		Edits:    appendEdit(current.Edits, edit),
	}
	return next, codec.EditResult{Status: codec.EditStatusAccepted, Revision: revision}
}

// conflict returns the result for an edit whose base revision is outdated; it names the latest edit if there is one.
func conflict(current *codec.Catalogue, request *codec.EditRequest) codec.EditResult {
	result := codec.EditResult{Status: codec.EditStatusConflict, Revision: current.Revision}
	result.Message = fmt.Sprintf("base revision %d is not the current revision %d", request.BaseRevision, current.Revision)
	if len(current.Edits) == 0 {
		return result
	}
	latest := current.Edits[len(current.Edits)-1]
	result.ConflictingEdit = &latest
	result.Message += fmt.Sprintf(", which %s made at %s: %s", latest.Author, latest.At.Format(time.RFC3339), latest.Summary)
	return result
}

func findEdit(catalogue *codec.Catalogue, id identifier.EditID) (codec.Edit, bool) {
	for _, edit := range catalogue.Edits {
		if edit.EditID == id {
			return edit, true
		}
	}
	return codec.Edit{}, false
}

func appendEdit(edits []codec.Edit, edit codec.Edit) []codec.Edit {
	kept := make([]codec.Edit, 0, len(edits)+1)
	kept = append(kept, edits...)
	kept = append(kept, edit)
	if len(kept) > KeptEdits {
		kept = kept[len(kept)-KeptEdits:]
	}
	return kept
}

func checkRequest(request *codec.EditRequest) []Problem {
	var problems []Problem
	if request.EditID == "" {
		problems = append(problems, Problem{Subject: "edit", Field: "edit_id", Accepted: "an id that no other edit has"})
	}
	if request.Author == "" {
		problems = append(problems, Problem{Subject: "edit", Field: "author", Accepted: "the name of the author"})
	}
	return append(problems, Check(request.Entries, request.Pools)...)
}
