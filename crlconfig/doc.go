// Package crlconfig holds the configuration of a fleet of daemons: organisations, model versions, request classes, failure
// domains, plain services and backend servers. Operators replace it as a whole by publishing a complete INI file.
//
// [Parse] checks a file and returns an immutable [Configuration], or a *crlini.Error with every problem found, each with its
// file, section and line. The command-line tool cranberrylockctl and the daemon use the same checker.
//
// A [Publication] is an entry of the journal's stream [Stream] and names the offset of the configuration that it was made from,
// its base. The [Fold] applies publications in offset order and accepts one only if its base is still in force. Every daemon
// reaches the same verdict: if two operators publish at the same time, one publication is accepted and the other is refused
// with [DecisionStaleBase].
//
// A [Store] serves the newest accepted configuration that the log or a peer has shown: this one is in force at its daemon. The
// Store also records the time at which that configuration was last confirmed current. While the log is unreachable, a
// [PeerPoll] of all other daemons, the peers, may confirm it instead.
//
// A Fold has no I/O and no locks; a Store calls it on its [Loop]. The methods of a Store are safe for concurrent use. When
// earlier records are missing, a Fold decides nothing until it is restored from a checkpoint or an operator forces a
// publication. The Store goes on serving the last configuration meanwhile.
package crlconfig
