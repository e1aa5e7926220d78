; Operators' settings of bendspindle, with their defaults. Pass the file with --operator.
; An unknown name is refused. LOG_LEVEL in the environment goes before log-level.
((log-level info)       ; error, info or debug
 (cycle-s 2)            ; a placing cycle; room must open within one for a task to be bound
 (lease-s 4)            ; the controller's own lease in the state service
 (idle-return-s 15)     ; an idle machine nobody is expected to need is returned after this
 (least-paid-s 60)      ; no machine is returned younger than this: it is paid for anyway
 (demand-memory-s 60)   ; demand is learned over about this long
 (headroom 1)           ; standard deviations of demand kept ready beyond the mean
 (threads 160)          ; most connections served at once; sockets and memory may allow fewer
 (stack-kb 256)         ; stack of each thread
 (finals-cached 4096))  ; jobs that are over, remembered in memory
