package main

import (
	"fmt"
	"os"
	"path/filepath"

	"celerygap.example/lib/documenter"
)

func main() {
	for _, page := range documenter.Pages() {
		if err := os.WriteFile(filepath.Join("docs", page.Name), []byte(page.Text), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, "document:", err)
			os.Exit(1)
		}
	}
}
