name     = "winter"
version  = 1
zone     = "Europe/Riga"
holidays = ["2026-11-18", "2026-12-25", "2026-12-26"]
prefixes = "prefixes.csv"

dialling {
  international = "00"
  country       = "371"
  short_most    = 3
}

route "emergency" {
  least     = 3
  most      = 3
  emergency = true
  prefixes  = ["112", "113"]
  choice {
    to "0" {}
  }
}

route "riga" {
  least = 11
  most  = 11
  choice {
    days     = ["mon", "tue", "wed", "thu", "fri"]
    from     = "08:00"
    to       = "18:00"
    holidays = "never"
    to "0" {
      weight = 60
    }
    to "1" {
      weight = 40
    }
  }
  choice {
    to "1" {}
  }
}

route "jelgava" {
  least  = 11
  most   = 11
  ported = true
  choice {
    to "2" {}
  }
}

route "closed" {
  least = 11
  most  = 11
  choice {
    announce {
      cause = 22
    }
  }
}

screen "premium" {
  numbers = "37190"
}
