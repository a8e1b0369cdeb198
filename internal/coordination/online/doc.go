// Package online serves an online call whose caller has been authenticated. It
// applies the rate limit, admits the call, chooses a target, calls the target
// and forwards the response. The steps are values passed in Options; none of
// them writes to a network connection itself.
package online
