# Three nodes and ten catalogue servers in two racks, without faults. Other scripts extend it.

length          = "30s"
nodes           = 3
mail_per_second = 200

servers {
  count         = 10
  cores         = 2
  queue         = 16
  racks         = 2
  cold_share    = 0.21
  warm_within   = "8s"
  fall_multiple = 1.5
  fall_time     = "1s"
  drain_grace   = "250ms"
  told_late     = "400ms"
}

clients {
  retries = 2
  wait    = "200ms"
  proxied = 0.3
  http2   = 0.3
}

class "lookup" {
  method   = "GET"
  path     = "/records/"
  effect   = "safe"
  aim      = "800ms"
  deadline = "3s"
  work     = "60ms"
  share    = 0.6
}

class "loan-change" {
  method        = "POST"
  path          = "/loans/"
  effect        = "keyed"
  group         = "cell"
  window        = "2s"
  aim           = "600ms"
  deadline      = "2s"
  work          = "40ms"
  share         = 0.3
  authorisation = "refuse"
}

class "note" {
  method        = "POST"
  path          = "/notes/"
  effect        = "unsafe"
  aim           = "600ms"
  deadline      = "2s"
  work          = "40ms"
  share         = 0.1
  authorisation = "allow"
}

plan "basic" {
  rate  = 2
  burst = 8
}

plan "extended" {
  rate       = 8
  burst      = 16
  open       = 6
  hard_rate  = 14
  hard_burst = 24
}

plan "county" {
  rate  = 30
  burst = 60
}

customers "school" {
  plan  = "basic"
  count = 20
  use   = 0.6
}

customers "town" {
  plan  = "extended"
  count = 5
  use   = 0.8
}

# Demands far more than its quota, and more than its hard ceiling.
customers "flood" {
  plan  = "extended"
  count = 1
  use   = 5
}

customers "county" {
  plan  = "county"
  count = 5
  use   = 0.8
}

counter {
  parts            = 2
  calls_per_second = 400
}
