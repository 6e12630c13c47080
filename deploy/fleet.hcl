# The operator file of a fleet that acts as one: who is in it, and where key ranges shall be. It states what shall
# be; the steps are found. "rowan-clustered plan FILE" prints them. SIGHUP reads it again: what has switched stays.

fleet "orders" {
  term         = "3s" # a session ends so long after its last renewal
  clocks_apart = 0.05 # two clocks differ in rate by so much at the most
  ranges       = 64   # of the first map, even parts
}

# weight: its part of the ranges; 0: only what rules put there. room: ranges at the most, those on their way
# counted on both sides; 0: no bound.
member "m1" {
  says   = "127.0.0.1:7101"
  log    = "127.0.0.1:7201"
  zone   = "a"
  weight = 1
  room   = 32
}
member "m2" {
  says = "127.0.0.1:7102"
  log  = "127.0.0.1:7202"
  zone = "b"
}
member "m3" {
  says = "127.0.0.1:7103"
  log  = "127.0.0.1:7203"
  zone = "b"
}
member "m4" {
  says   = "127.0.0.1:7104"
  zone   = "a"
  weight = 0.5
}
member "m5" {
  says = "127.0.0.1:7105"
  zone = "a"
}

site "depot" {
  relay       = "m4"
  subscribers = [3, 4, 5]
}
list "prices" { subscribers = [3, 4, 5, 9] }

# m2 shall have no range, as it is to be switched off.
leave "m2" {}

# These destinations on one member. Each is split off the range that it lies in and moves alone; it is merged
# again once no pin, apart or alone names it.
pin "billing" {
  destinations = [7, 9]
  to           = "m1"
}

# No two of these on one member; by = "zone": not in one zone either.
apart "largest" {
  destinations = [21, 22]
  by           = "zone"
}

# All ranges with a hash of the span (both ends belong to it) in one zone.
keep "eastern" {
  hashes = ["0xf000000000000000", "0xffffffffffffffff"]
  zone   = "a"
}

# m5 shall have this and nothing else.
alone "m5" { destinations = [13] }

# What moves by "billing" is through before anything moves by the others. after "m2" { before = ["billing"] } says
# the same for one. A range under two rules goes with the first.
before "billing" { after = ["m2", "eastern"] }

bounds {
  moves_at_once   = 4 # 1 where there is no such line
  per_member      = 2 # on either side of a move
  per_zone        = 3
  value_under_way = 500 # of what is delivered in a second in the ranges under way
  pause           = "2s" # after a move, before the next starts
}

# The plan stops, and what has not switched goes back, once the ranges that it has moved show more of it than
# before their moves, by this share of their webhooks; or once a destination in them goes sick. SIGHUP goes on.
stop_when {
  rejected      = 0.02
  dead_lettered = 0.001
  late          = 0.05
  sick          = true
}
