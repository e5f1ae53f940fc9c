listener "http" "desks" { address = "127.0.0.1:8080" }
class "lookup" {
  effect   = "unsafe"
  aim      = "800ms"
  deadline = "3s"
  route {
    method = "GET"
    path   = "/records"
  }
}
plan "basic" {}
customer "school-1" {
  plan = "basic"
  keys = ["key-1"]
}
peers {
  listen = "127.0.0.1:8090"
  key    = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
}
servers {
  server "catalogue-1" { address = "127.0.0.1:9001" }
  turned_away {
    status = 503
    header = "x-not-run"
  }
}
authoriser { address = "127.0.0.1:9200" }
counter { addresses = ["127.0.0.1:6379"] }
