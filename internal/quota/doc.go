// Package quota enforces the usage caps of organisations over the whole fleet. The cap
// of an organisation is divided into parts, one for each region. Each part is a token
// bucket at one node of that region, its owner. Nodes take tokens from the owners by
// datagrams, and a request is forwarded only with a token.
//
// Fleet, bucket and holder are state machines without input and output that are given
// the time. Manager connects them to the node.
package quota
