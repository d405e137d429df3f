# From lisboa-scores: other class names, effects on other classes, reservations and limits turned round, shorter
# deadlines and label window, other costs; the list is asked for, as there.
# has: name = "seam-read"
# has: effect = "unsafe"
# has: group = "zone"
# has: reserve = 0.9
s/^name = "lisboa-scores"$/name = "quarry"/
s/^name = "score-read"$/name = "seam-read"/
s/^name = "event-write"$/name = "blast-write"/
s/^name = "season-export"$/name = "survey"/
/^name = "(score-read|seam-read)"$/,/^$/ {
  s/^deadline_ms = .*/deadline_ms = 1300/
  s/^worth = .*/worth = 2/
}
/^name = "(event-write|blast-write)"$/,/^$/ {
  s/^effect = "keyed"$/effect = "unsafe"/
  /^(group|window_ms) = /d
  s/^deadline_ms = .*/deadline_ms = 2000/
  s/^worth = .*/worth = 3/
}
/^name = "(season-export|survey)"$/,/^$/ {
  s/^effect = "safe"$/effect = "keyed"\ngroup = "zone"\nwindow_ms = 2000/
  s/^write = false$/write = true/
  s/^deadline_ms = .*/deadline_ms = 4000/
}
s/^waste = 0.08$/waste = 0.03/
/^size = 1$/,/^$/ {
  s/^reserve = 0.3$/reserve = 0.9/
  s/^limit = 4$/limit = 6/
}
/^size = 2.5$/,/^$/ s/^weight = 4$/weight = 2\nlimit = 8\nburst_s = [1, 2]/
