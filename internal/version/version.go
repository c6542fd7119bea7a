// Package version contains the version of the programs.
package version

// Version is the release that the programs print for -version.
const Version = "0.1.0"
