about            = "the kinds of trouble that the other days lack"
length           = "40s"
seed             = 1
exchanges        = 8
calls_per_second = 80
load             = 0.85
spare            = 0.3
settle           = "3s"
come_back_most   = "2s"
list_late        = "2s"

processor {
  refuse_after = "2s"
}

callers {
  redials   = 2
  backoff   = "1s"
  try_share = 0.35
}

bearer "ride-status" {
  revenue    = 1
  late_share = 0.1
  gos_target = "1.2s"
  abandon    = "9s"
  share      = 7
  holding    = "10s"
}

bearer "dialysis-pickup" {
  revenue    = 5
  late_share = 0.25
  gos_target = "1.2s"
  abandon    = "6s"
  share      = 0.5
  holding    = "6s"
}

bearer "ride-slot" {
  revenue    = 2
  late_share = 0.25
  gos_target = "1.5s"
  abandon    = "9s"
  share      = 2
  holding    = "12s"
}

trouble "answers_lost" {
  start  = "3s"
  length = "6s"
  part   = 0.4
  size   = 0.15
  how    = "reset"
}

trouble "mass_restart" {
  start = "10s"
  part  = 0.4
  size  = 1
}

trouble "controllers_roll" {
  start  = "16s"
  length = "12s"
  part   = 0.4
  size   = 3
}

trouble "list_wrong" {
  start  = "20s"
  length = "4s"
  how    = "contradictory"
}

trouble "list_wrong" {
  start  = "26s"
  length = "3s"
  how    = "repeated"
}

trouble "list_wrong" {
  start  = "30s"
  length = "3s"
  how    = "stale"
}

trouble "hung" {
  start  = "31s"
  length = "3s"
  part   = 0.13
}

trouble "leave_early" {
  start  = "34s"
  length = "4s"
  size   = 0.4
}

trouble "half_open" {
  start  = "33s"
  length = "5s"
  part   = 0.13
}
