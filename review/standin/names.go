package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireJSON []byte

// names holds the platform's names on the wire.
var names = loadNames()

type wireNames struct {
	BasePath       string `json:"base_path"`
	ReadyPath      string `json:"ready_path"`
	ReportPath     string `json:"report_path"`
	ConfigKey      string `json:"config_key"`
	AttemptHeader  string `json:"attempt_header"`
	DeadlineHeader string `json:"deadline_header"`
	ExpectHeader   string `json:"expect_header"`
	CallerHeader   string `json:"caller_header"`
	StampHeader    string `json:"stamp_header"`
	NotExecuted    string `json:"not_executed_header"`
	InstanceHeader string `json:"instance_header"`
}

func loadNames() (n wireNames) {
	if err := json.Unmarshal(wireJSON, &n); err != nil {
		panic(err)
	}
	return n
}
