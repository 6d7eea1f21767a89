# One exchange of a network of three. docs/operators.md lists every setting.
exchange       = 0
exchanges      = 3
own_switch     = "127.0.0.1:7100"
register       = "127.0.0.1:7000"
tries          = 4
release_time   = "300ms"
drain_grace    = "250ms"
come_back_most = "2s"

cold {
  from          = 0.28
  ramp          = "14s"
  fall_multiple = 3
  fall_window   = "1.5s"
}

queues {
  inbox       = 8192
  link_octets = 1048576
}

bearer "ride-status" {
  revenue    = 1
  late_share = 0.1
  gos_target = "1.2s"
  abandon    = "9s"
}

bearer "dialysis-pickup" {
  revenue    = 5
  late_share = 0.25
  gos_target = "1.2s"
  abandon    = "6s"
}

neighbour "valmiera" {
  exchange = 1
  circuits = 60
  address  = "127.0.0.1:7101"
}

neighbour "jelgava" {
  exchange = 2
  circuits = 45
  address  = "127.0.0.1:7102"
}

gateways {
  listen = "127.0.0.1:2727"

  gateway "clinic-3.example" {
    addresses  = ["127.0.0.1:2427"]
    endpoints  = 24
    first_line = 100
    bearer     = "ride-status"
  }
}
