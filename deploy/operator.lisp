; The operator's file: (section (setting value unit) ...). `marbleworks settings` prints every setting with its default;
; `marbleworks check --config CONFIG --operator FILE` checks a file without starting a router. In the sections
; `background` and `spool`, the settings that are commented out show their defaults, except `quota`, an example.

; Background tasks: expiry, compaction, checkpoints, scrubbing.
(background
  ; (core 10 %)              ; share of the core that background tasks may use
  ; (bytes 20 MB/s)          ; bytes that background tasks may read and write per second
  ; (patience 10 s))         ; longest wait of a task; after it the task runs although the router is backlogged
)

; Results kept on disk and read page by page. Without this section a request's field `spool` is ignored.
(spool
  (folder "/var/lib/marbleworks/spool")   ; folder of the segment files; used by one router at a time
  (room 2 GB)                             ; bytes that the folder may hold
  ; (keep 10 min)            ; how long a result is kept after a page of it was last read
  ; (unread 5 min)           ; how long it is kept while no page of it has been read
  ; (longest 1 h)            ; how long it is kept at most
  ; (largest 64 MB)          ; maximum size of a result; a request with a larger result fails
  ; (share 50 %)             ; share of the room that one tenant may use
  ; (quota "acme" 20 %)      ; share of the room that the named tenant may use, instead of `share`
  ; (page 24 KB)             ; bytes of rows in one page, before compression
  ; (least-pace 4 KB/s)      ; minimum rate of reading a page; a slower client is disconnected
)

; Group membership: the same section at every router of a group. `(peers)` alone turns it on.
; (peers
;   (group "routers")            ; name of the group; datagrams of other groups are rejected
;   (suspicion 1 s)              ; time in which a suspected peer has to refute
;   (term 2.4 s)                  ; time for which a vote for a leader is binding
;   (lease 1.6 s)                ; time for which a leased share may be used
;   (kept 25 %))                 ; part of each quota in fixed equal shares, which also an isolated router may use

; Fleet-wide budgets, divided by demand: the same section at every router of a group with (peers).
; (budgets
;   (version 1)                  ; version of the totals; raise it at each change
;   (out-per-core 3)             ; maximum requests in flight at one engine, for each of its cores
;   (further 40)                 ; retries and hedged attempts a second, whole fleet
;   (budget "month-end reports" (profile "market-report") (out 40))
;   (kept 25 %) (lease 3 s) (settle 4 s))

; Fair queues in front of the scheduler. `(door)` alone turns them on. Left out here: turn on one section at a time.
; (door
;   (waiting 4000)               ; requests that may wait in all queues together
;   (memory 16 MB)               ; bytes that the waiting requests may take
;   (weight "acme" 2)            ; weight of a tenant; others have 1
;   (network "10.1.0.0/16" 0.5)  ; weight of clients without a tenant that connect from a network
;   (trace off))                 ; on: write one log line for each decision, for `marbleworks door explain`
