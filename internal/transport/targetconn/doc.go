// Package targetconn sends requests to targets over kept HTTP/1.1 connections
// and says of each failure whether the request may have run.
//
// It uses net/http to write requests and read answers, but keeps the connections
// itself, for three reasons. A request that may not be repeated must not be sent
// again by a transport that thinks it safe. A target may send an answer that
// belongs to an earlier request; it is told apart by its id, and the next one is
// read from the same connection, which a shared transport has no place for. And
// a connection on which anything is amiss must not be used again, which is
// decided here by what was seen on it.
package targetconn
