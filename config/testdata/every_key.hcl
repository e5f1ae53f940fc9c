node {
  number    = 1
  name      = "b"
  zone      = "room-b"
  state_dir = "/var/lib/yardcleat"
}

log {
  level  = "warn"
  format = "json"
}

listener "http" "desks" { address = "127.0.0.1:8080" }
listener "http2" "apps" { address = "127.0.0.1:8081" }
listener "https" "public" {
  address   = "[::1]:8443"
  cert_file = "/etc/cert.pem"
  key_file  = "/etc/key.pem"
}
listener "ext_authz" "proxies" { address = "127.0.0.1:8082" }

clients {
  key_header      = "x-customer"
  patience_header = "x-time-left"
  max_retry_after = "7s"
}

class "lookup" {
  effect        = "safe"
  aim           = "800ms"
  deadline      = "3s"
  units         = 2
  worth         = 4
  authorisation = "allow"
  remember      = "30s"
  route {
    method = "GET"
    path   = "/records/{id}"
  }
  route {
    method = "HEAD"
    path   = "/files/{rest...}"
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
  rate  = 1.5
  burst = 5
}

plan "extended" {
  rate         = 5
  burst        = 10
  open         = 8
  beyond_earns = 0.5
  beyond_costs = 2
  hard_rate    = 10
  hard_burst   = 20
}

customer "school-1" {
  plan       = "basic"
  keys       = ["key-1", "key-2"]
  first_node = 2
  nodes      = 1
}

peers {
  listen          = "127.0.0.1:8090"
  key             = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
  mail_per_second = 80
  freshness       = "3s"
  peer "0" { address = "127.0.0.1:8190" }
  peer "2" { address = "127.0.0.1:8290" }
}

servers {
  server "catalogue-1" {
    address = "127.0.0.1:9001"
    zone    = "room-a"
    cell    = 3
    weight  = 2.5
  }
  turned_away {
    status = 429
    header = "x-not-run"
  }
  protocol      = "http2"
  cold_share    = 0.25
  warm_within   = "17s"
  fall_multiple = 3
  fall_time     = "2s"
}

authoriser {
  address            = "127.0.0.1:9200"
  addresses          = ["127.0.0.1:9201"]
  timeout            = "150ms"
  most_out           = 50
  body               = 4096
  allowed_headers    = ["authorization", "x-a"]
  disallowed_headers = ["cookie"]
}

counter {
  addresses        = ["127.0.0.1:6379", "127.0.0.1:6380"]
  calls_per_second = 700
  limit            = "90ms"
  window           = "30s"
  keep             = "2h"
}

limits {
  line          = 4096
  fields        = 50
  header        = 16384
  body          = 65536
  answer_body   = 131072
  header_time   = "3s"
  body_time     = "4s"
  idle_time     = "1m"
  write_time    = "6s"
  connections   = 1000
  streams       = 20
  abuse         = 30
  requests      = 2000
  answer_margin = "20ms"
  connect_time  = "300ms"
  idle_upstream = 8
  max_attempts  = 5
  memory        = 33554432
}
