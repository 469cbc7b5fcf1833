"""Files as a transport: a folder with orders for proxies and reports from them, in files that are replaced as a whole.

It works beside the streams, with the same planner and the same rules. docs/design/files.md describes the format byte
for byte. Modules without I/O: `format` (files as text), `ledger` (what is published, in which order, and what has been
acknowledged), `intake` (reports), `view` (which files a reader may apply), `choice` (which transport serves a proxy).
Modules with I/O: `disk`, `recover` (reads a folder that exists already), `front` (the coordinator's side), `follow`
(the proxy's side).
"""
