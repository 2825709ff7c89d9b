// Package drainpermit decides which gateways may drain, so that clients always have one that does
// not. It is permission-based mutual exclusion where a single permission suffices: a process that
// wants to drain asks the others, and drains once one grants it. Only a process that is ready, does
// not drain and has no request of its own may grant.
//
// Why one process always stays: a permission counts only for the request that it answers, and is
// granted only by a process that at that moment neither drains nor requests, or gives up its own
// request. So a process that grants and drains later began its own successful request after the
// grant. If all running processes drained, there would be a cycle in which each was granted by the
// next, and in which each request began after the one before, which is impossible. The argument
// needs no clock, disk or memory of messages: messages may be late, lost, duplicated or reordered,
// and processes may restart.
package drainpermit
