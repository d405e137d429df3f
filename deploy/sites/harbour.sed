# From poznan-lab: other class names, effects on other classes, the list pushed, a limit on both plans, other
# shares, deadlines and costs.
# has: name = "berth-read"
# has: effect = "unsafe"
# has: mode = "push"
# has: limit = 9
s/^name = "poznan-lab"$/name = "harbour"/
s/^mode = "ask"$/mode = "push"/
s/^name = "rate-read"$/name = "berth-read"/
s/^name = "quote-write"$/name = "cargo-write"/
s/^name = "lane-export"$/name = "manifest"/
/^name = "(rate-read|berth-read)"$/,/^$/ {
  s/^share = .*/share = [0.4, 0.5]/
  s/^deadline_ms = .*/deadline_ms = 2200/
  s/^aim_ms = .*/aim_ms = 500/
  s/^effect = "safe"$/effect = "keyed"\ngroup = "cell"\nwindow_ms = 3500/
}
/^name = "(quote-write|cargo-write)"$/,/^$/ {
  s/^share = .*/share = [0.3, 0.38]/
  s/^effect = "keyed"$/effect = "unsafe"/
  /^(group|window_ms) = /d
  s/^deadline_ms = .*/deadline_ms = 3000/
}
/^name = "(lane-export|manifest)"$/,/^$/ {
  s/^share = .*/share = [0.18, 0.24]/
  s/^deadline_ms = .*/deadline_ms = 5000/
  s/^worth = .*/worth = 1.5/
}
s/^waste = 0.03$/waste = 0.06/
s/^discovery = 0.003$/discovery = 0.005/
/^size = 1.5$/,/^$/ s/^reserve = 1.2$/reserve = 0.8\nlimit = 9\nburst_s = [1, 1.6]/
