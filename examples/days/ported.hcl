about            = "portability asked for every call, by a server that is well, late, silent and flapping"
length           = "60s"
seed             = 1
exchanges        = 6
calls_per_second = 70
load             = 0.85
come_back_most   = "2s"
tables           = true
ported           = 0.3

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

trouble "portability" {
  start  = "10s"
  length = "10s"
  how    = "late"
  size   = 0.5
}

trouble "portability" {
  start  = "20s"
  length = "9s"
  how    = "silent"
  size   = 1
}

trouble "portability" {
  start  = "30s"
  length = "1s"
  how    = "silent"
  size   = 1
}

trouble "portability" {
  start  = "32s"
  length = "1s"
  how    = "silent"
  size   = 1
}

trouble "portability" {
  start  = "34s"
  length = "1s"
  how    = "silent"
  size   = 1
}

trouble "portability" {
  start  = "36s"
  length = "1s"
  how    = "silent"
  size   = 1
}

trouble "portability" {
  start  = "38s"
  length = "1s"
  how    = "silent"
  size   = 1
}

trouble "portability" {
  start  = "41s"
  length = "4s"
  how    = "truncated"
}

trouble "portability" {
  start  = "46s"
  length = "4s"
  how    = "wrong"
}

trouble "portability" {
  start  = "51s"
  length = "4s"
  how    = "contradictory"
}

trouble "portability" {
  start  = "56s"
  length = "4s"
  how    = "other"
}
