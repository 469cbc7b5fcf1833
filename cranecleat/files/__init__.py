"""Files as a transport: orders to proxies and their reports through files that are replaced whole.

The second front beside the streams: the same planner, the same rules. docs/design/files.md has the format byte for
byte. Without I/O: `format` (text), `ledger` (what is published, in which order, and what is acknowledged), `intake`
(what comes back), `view` (what a reader may believe), `choice` (which transport speaks to a proxy). With I/O: `disk`,
`front`, `follow`.
"""
