about            = "a short day for planted breaks: calls that time out, a drained switch, a cold one"
length           = "12s"
settle           = "1s"
seed             = 3
exchanges        = 3
calls_per_second = 40
load             = 1.1
spare            = 0
list_late        = "100ms"
list_every       = "50ms"

bearer "ride-status" {
  revenue    = 1
  gos_target = "1.2s"
  abandon    = "9s"
  holding    = "3s"
}

trouble "answers_lost" {
  start  = "1s"
  length = "4s"
  part   = 0.6
  size   = 0.5
  how    = "silence"
}

trouble "links_reset" {
  start = "3s"
  part  = 1
  size  = 1
}

trouble "drain" {
  start  = "5s"
  length = "1s"
  part   = 0.3
  size   = 3
}
