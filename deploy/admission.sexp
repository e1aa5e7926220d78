; Fair-share minimums under overload, which are off without this file; docs/operating-overload.md. Pass the file with --admission.
; An unknown entry, a team that the platform's settings do not name, or a bad number is refused.
((floors 0.5)       ; part of the machines that all minimum shares together may claim; 0: none
 (patience-s 60))   ; starvation timeout: a job that has waited as long for its start claims its class's or team's minimum share
; Weights, 1 where none is given:
; (class NAME 2)
; (team NAME 0.5)
