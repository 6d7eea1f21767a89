about            = "a bad day: fourteen troubles in a minute, some on top of each other, one controller killed and one stalled"
length           = "60s"
seed             = 1
exchanges        = 6
calls_per_second = 70
load             = 0.9
come_back_most   = "2s"

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
  holding    = "8s"
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
  width      = 2
  holding    = "9s"
}

trouble "load_jump" {
  start  = "4s"
  length = "5s"
  size   = 1.6
}

trouble "slow" {
  start  = "7s"
  length = "8s"
  part   = 0.34
  size   = 3
}

trouble "circuits_lost" {
  start  = "12s"
  length = "8s"
  part   = 0.34
  size   = 0.5
}

trouble "answers_lost" {
  start  = "16s"
  length = "8s"
  part   = 0.5
  size   = 0.25
  how    = "silence"
}

trouble "controllers_kill" {
  start = "20s"
  part  = 0.17
  size  = 2
}

trouble "controllers_stall" {
  start  = "24s"
  length = "9s"
  part   = 0.17
  size   = 1.5
  every  = "4s"
}

trouble "list_wrong" {
  start  = "27s"
  length = "4s"
  how    = "short"
}

trouble "mass_cut" {
  start = "30s"
  size  = 0.5
}

trouble "links_reset" {
  start = "34s"
  part  = 0.34
  size  = 0.7
}

trouble "drain" {
  start  = "36s"
  length = "4s"
  part   = 0.17
  size   = 3
}

trouble "hung" {
  start  = "41s"
  length = "4s"
  part   = 0.17
}

trouble "chopped" {
  start  = "44s"
  length = "6s"
  part   = 0.5
  size   = 1
}

trouble "half_open" {
  start  = "50s"
  length = "5s"
  part   = 0.17
}

trouble "leave_early" {
  start  = "54s"
  length = "5s"
  size   = 0.3
}
