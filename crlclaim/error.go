package crlclaim

import "errors"

// ErrUnavailable is returned if this daemon can't decide claims now. Nothing was appended to the log.
var ErrUnavailable = errors.New("claims are not known to be complete and current")

// ErrUndecided is returned if no verdict is available. The claim may have reached the log, but this daemon does not use it.
var ErrUndecided = errors.New("claim was not decided in time")
