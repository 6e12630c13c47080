package site

import (
	"os"

	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/wal"
)

// recordJournal is a write-ahead log that assigns consecutive ids to its records. The ids have the type
// api.WebhookID because wal.Log identifies its entries by it; they do not identify webhooks.
type recordJournal struct {
	*wal.Log
	lastRecord api.WebhookID
}

// openJournal opens the journal in a folder, which it creates if necessary.
func openJournal(dir string, diskMB float64) (*recordJournal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	log, err := wal.Open(dir, diskMB)
	if err != nil {
		return nil, err
	}
	j := &recordJournal{Log: log}
	for _, e := range log.Entries() {
		j.lastRecord = max(j.lastRecord, e.ID)
	}
	return j, nil
}

// append stores records in one write and returns the id of the first; the ids of the others follow consecutively. If it
// returns an error, no record is stored.
func (j *recordJournal) append(records [][]byte) (first api.WebhookID, err error) {
	first = j.lastRecord + 1
	for _, record := range records {
		j.lastRecord++
		if err = j.Accept(j.lastRecord, record); err != nil {
			break
		}
	}
	if err == nil {
		err = j.Commit()
	}
	if err != nil {
		for id := first; id <= j.lastRecord; id++ {
			j.Undo(id)
		}
	}
	return first, err
}
