about            = "the bad day's troubles with a new table of numbers every 60 ms"
length           = "64s"
seed             = 1
exchanges        = 6
calls_per_second = 70
load             = 0.85
come_back_most   = "2s"
tables           = true

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

trouble "tables_change" {
  start  = "1s"
  length = "62s"
  every  = "60ms"
}

trouble "slow" {
  start  = "5s"
  length = "8s"
  part   = 0.34
  size   = 3
}

trouble "answers_lost" {
  start  = "12s"
  length = "8s"
  part   = 0.5
  size   = 0.25
  how    = "silence"
}

trouble "controllers_kill" {
  start = "16s"
  part  = 0.17
  size  = 2
}

trouble "controllers_stall" {
  start  = "20s"
  length = "9s"
  part   = 0.17
  size   = 1.5
  every  = "4s"
}

trouble "mass_cut" {
  start = "26s"
  size  = 0.5
}

trouble "links_reset" {
  start = "30s"
  part  = 0.34
  size  = 0.7
}
