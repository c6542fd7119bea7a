// Package e2e holds end-to-end tests. They run the programs as separate
// processes, kill, freeze, disconnect and restart them under load, and check the
// answers against the backend servers' journals. It has no code besides the
// tests.
package e2e
