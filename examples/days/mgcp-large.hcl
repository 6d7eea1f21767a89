about            = "The day of mgcp.hcl with a hundred thousand calls from phones"
length           = "235s"
exchanges        = 4
calls_per_second = 10
load             = 0.8
list_late        = "1s"

gateways {
  each             = 16
  endpoints        = 128
  calls_per_second = 600
  near             = 0.2
  bearer           = "ride-status"
  holding          = "1s"
  pick_up          = "300ms"
}

bearer "ride-status" {
  revenue    = 1
  late_share = 0.1
  gos_target = "1.2s"
  abandon    = "9s"
  share      = 3
  holding    = "4s"
}

bearer "dialysis-pickup" {
  revenue    = 5
  late_share = 0.25
  gos_target = "1.2s"
  abandon    = "6s"
  share      = 1
  holding    = "6s"
}

trouble "gateways" {
  start  = "5s"
  length = "8s"
  part   = 0.5
  size   = 0.05
  how    = "loss"
}

trouble "gateways" {
  start  = "15s"
  length = "8s"
  part   = 0.5
  size   = 0.3
  how    = "double"
}

trouble "gateways" {
  start  = "25s"
  length = "8s"
  part   = 0.5
  size   = 0.3
  how    = "late"
}

trouble "gateways" {
  start  = "35s"
  length = "8s"
  part   = 0.5
  size   = 0.1
  how    = "truncated"
}

trouble "gateways" {
  start  = "45s"
  length = "8s"
  part   = 0.5
  size   = 0.3
  how    = "two_answers"
}

trouble "gateways" {
  start  = "55s"
  length = "6s"
  part   = 0.25
  size   = 1
  how    = "reused_ids"
}

trouble "gateways" {
  start  = "63s"
  length = "6s"
  part   = 0.25
  size   = 1
  how    = "cut"
}

trouble "gateways" {
  start  = "75s"
  length = "8s"
  part   = 0.5
  size   = 0.5
  how    = "flash"
}

trouble "gateways" {
  start  = "80s"
  length = "8s"
  part   = 0.5
  size   = 0.5
  how    = "hang_up"
}

trouble "gateways" {
  start  = "90s"
  length = "8s"
  part   = 0.5
  size   = 0.3
  how    = "trickle"
}

trouble "gateways" {
  start  = "95s"
  length = "10s"
  part   = 0.5
  size   = 0.5
  how    = "glare"
}

trouble "gateways" {
  start  = "105s"
  length = "1s"
  part   = 0.25
  size   = 1
  how    = "restart"
}

trouble "gateways" {
  start  = "112s"
  length = "1s"
  part   = 0.25
  size   = 1
  how    = "moved"
}

trouble "hung" {
  start  = "120s"
  length = "3s"
  part   = 0.25
  size   = 1
}

trouble "controllers_kill" {
  start  = "128s"
  length = "1s"
  part   = 0.5
  size   = 1
}

trouble "gateways" {
  start  = "140s"
  length = "10s"
  part   = 1
  size   = 0.2
  how    = "loss"
}

trouble "gateways" {
  start  = "145s"
  length = "5s"
  part   = 0.5
  size   = 35
  how    = "late"
}

trouble "controllers_stall" {
  start  = "155s"
  length = "6s"
  part   = 0.5
  size   = 1
  every  = "2s"
}

trouble "links_reset" {
  start  = "165s"
  length = "1s"
  part   = 0.5
  size   = 1
}

trouble "gateways" {
  start  = "168s"
  length = "1s"
  part   = 0.5
  size   = 1
  how    = "restart"
}

trouble "controllers_kill" {
  start  = "168s"
  length = "1s"
  part   = 0.25
  size   = 2
}
