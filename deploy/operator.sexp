; Operators' settings of bendspindle, with their defaults. Pass the file with --operator.
; An unknown name is refused. LOG_LEVEL in the environment goes before log-level.
((log-level info)       ; error, info or debug
 (cycle-s 2)            ; a placement cycle; capacity must open within one for a task to be assigned
 (lease-s 4)            ; the controller's own lease in the key-value store
 (idle-return-s 15)     ; an idle machine that no demand is forecast for is scaled in after this
 (least-paid-s 60)      ; no machine is scaled in younger than this: it is paid for anyway
 (demand-memory-s 60)   ; demand is learned over about this long
 (headroom 1)           ; standard deviations of demand kept ready beyond the mean
 (threads 160)          ; most connections served at once; sockets and memory may allow fewer
 (stack-kb 256)         ; stack of each thread
 (finals-cached 4096))  ; terminal states of jobs kept in memory
