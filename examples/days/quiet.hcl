about            = "no trouble at all, to see what is served when all is well"
length           = "20s"
seed             = 1
exchanges        = 4
calls_per_second = 30
load             = 0.8
come_back_most   = "2s"

bearer "ride-status" {
  revenue    = 1
  late_share = 0.1
  gos_target = "1.2s"
  abandon    = "9s"
  share      = 7
  holding    = "6s"
}

bearer "dialysis-pickup" {
  revenue    = 5
  late_share = 0.25
  gos_target = "1.2s"
  abandon    = "6s"
  share      = 0.5
  holding    = "4s"
}
