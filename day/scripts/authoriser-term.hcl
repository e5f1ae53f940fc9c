# The authorizer is overloaded, as at the start of a term: for 15 s, it takes 2 s for each check.

extends = "base"

fault "authoriser-slow" {
  at     = "6s"
  for    = "15s"
  target = 0
  arg    = "2s"
}
fault "server-drain" {
  at     = "10s"
  for    = "3s"
  target = 3
}
