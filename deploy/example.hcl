# Configuration of one of the two nodes of a fleet, with a static list of servers. Validate it with:
#   go run ./cmd/yardcleat check -c deploy/example.hcl

node {
  number = 0
  zone   = "room-a"
}

log {
  format = "json"
}

listener "http" "desks" { address = "127.0.0.1:8080" }
listener "ext_authz" "proxies" { address = "127.0.0.1:8081" }

class "lookup" {
  effect        = "safe"
  aim           = "800ms"
  deadline      = "3s"
  authorisation = "skip"
  route {
    method = "GET"
    path   = "/records/{id}"
  }
}

class "loan-change" {
  effect        = "keyed"
  group         = "cell"
  window        = "2s"
  aim           = "600ms"
  deadline      = "2s"
  authorisation = "refuse"
  route {
    method = "POST"
    path   = "/loans/{id}"
  }
}

plan "basic" {
  rate  = 1
  burst = 5
}

plan "extended" {
  rate       = 5
  burst      = 10
  open       = 8
  hard_rate  = 10
  hard_burst = 20
}

customer "school-1" {
  plan = "basic"
  keys = ["key-of-school-1"]
}

customer "town-1" {
  plan = "extended"
  keys = ["key-of-town-1", "newer-key-of-town-1"]
}

peers {
  listen          = "127.0.0.1:8090"
  key             = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
  mail_per_second = 60
  peer "1" { address = "127.0.0.1:8190" }
}

authoriser {
  address = "127.0.0.1:9200"
  timeout = "150ms"
}

servers {
  server "catalogue-1" {
    address = "127.0.0.1:9001"
    zone    = "room-a"
    cell    = 1
  }
  server "catalogue-2" {
    address = "127.0.0.1:9002"
    zone    = "room-b"
    cell    = 2
  }
  turned_away {
    status = 503
    header = "x-not-run"
  }
  cold_share  = 0.21
  warm_within = "17s"
}
