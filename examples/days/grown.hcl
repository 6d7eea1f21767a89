about            = "the network of today: thirteen troubles in a minute"
length           = "60s"
seed             = 1
exchanges        = 32
calls_per_second = 430
load             = 0.9
spare            = 0.3
settle           = "5s"
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

trouble "load_jump" {
  start  = "4s"
  length = "5s"
  size   = 1.5
}

trouble "hot_caller" {
  start  = "8s"
  length = "12s"
  part   = 0.04
  size   = 4
}

trouble "slow" {
  start  = "10s"
  length = "12s"
  part   = 0.25
  size   = 2.5
}

trouble "circuits_lost" {
  start  = "18s"
  length = "8s"
  part   = 0.33
  size   = 0.45
}

trouble "answers_lost" {
  start  = "24s"
  length = "10s"
  part   = 0.5
  size   = 0.2
  how    = "silence"
}

trouble "controllers_stall" {
  start  = "28s"
  length = "10s"
  part   = 0.6
  size   = 1.4
  every  = "3.5s"
}

trouble "controllers_kill" {
  start = "36s"
  part  = 0.06
  size  = 2
}

trouble "mass_cut" {
  start = "40s"
  size  = 0.35
}

trouble "list_late" {
  start  = "42s"
  length = "10s"
  size   = 4
}

trouble "drain" {
  start  = "44s"
  length = "8s"
  part   = 0.1
  size   = 3
}

trouble "other_work" {
  start  = "46s"
  length = "8s"
  part   = 0.4
  size   = 0.5
}

trouble "ageing" {
  start  = "40s"
  length = "14s"
  part   = 0.06
  size   = 6
}

trouble "links_reset" {
  start = "50s"
  part  = 0.2
  size  = 0.3
}
