; The operator's file: (section (setting value unit) ...). `marbleworks settings` prints every setting there is,
; `marbleworks check --operator FILE` reads one without starting anything. What stands here behind ';' is the default.

; Chores beside the commands: expiry, compaction, checkpoints, scrubbing.
(background
  ; (core 10 %)              ; the part of the core that chores may use
  ; (bytes 20 MB/s)          ; bytes that chores may read and write
  ; (patience 10 s))         ; after this long a chore goes although the desk is behind
)

; Results kept on disk and read page by page. Without this section a command's field `spool` is ignored.
(spool
  (folder "/var/lib/marbleworks/spool")   ; one router at a time
  (room 2 GB)                             ; all that the folder may hold
  ; (keep 10 min)            ; a result lives so long after its last page was read,
  ; (unread 5 min)           ; so long if none ever was,
  ; (longest 1 h)            ; and so long in all
  ; (largest 64 MB)          ; one that is larger is given up
  ; (share 50 %)             ; the part of the room that one tenant may hold
  ; (quota "acme" 20 %)      ; the same for one tenant by name
  ; (page 24 KB)             ; rows of one page that clients are given
  ; (least-pace 4 KB/s)      ; a client that takes a page more slowly is ended
)

; Routers that know each other, at every router of a group. `(peers)` alone turns it on.
; (peers
;   (group "routers")            ; routers of another group are not heard
;   (suspicion 1 s)              ; within which a suspected peer must refute
;   (term 2.4 s)                  ; for which a vote for the router that divides binds
;   (lease 1.6 s)                ; for which a part that was given may be used
;   (kept 25 %))                 ; of each whole what is never divided anew

; Budgets of the whole fleet, at every router of a group with (peers).
; (budgets
;   (version 1)                  ; raise it with each change
;   (out-per-core 3)             ; commands out at one engine, for each of its cores
;   (further 40)                 ; further sends a second
;   (budget "month-end reports" (profile "market-report") (out 40))
;   (kept 25 %) (lease 3 s) (settle 4 s))

; Fair queues by member. `(door)` alone turns it on. Left out here, as one thing at a time is turned on.
; (door
;   (waiting 4000)               ; commands that may wait, all together
;   (memory 16 MB)               ; bytes of them
;   (weight "acme" 2)            ; a member's part beside others' 1
;   (network "10.1.0.0/16" 0.5)  ; of clients without a member
;   (trace off))                 ; one log line for each decision, for `marbleworks door explain`
