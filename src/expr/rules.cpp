// Sets of rules and their index: see rules.h.
#include "expr/rules.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace heronworks::expr {
namespace {

// What a rule demands of one field: its value is one of these.
struct Demand {
  int field = -1;
  std::vector<const Constant*> values;
  std::size_t part = 0;  // of the rule
};

bool indexable(Type t) { return t == kInt || t == kUint || t == kString || t == kSize || t == kDuration; }

// What stands joined by && at the top of a checked tree.
void split(Tree& t, std::vector<Tree*>& out) {
  if (t.node == Node::kBinary && t.op == Op::kAnd) {
    split(*t.args[0], out);
    split(*t.args[1], out);
  } else {
    out.push_back(&t);
  }
}

std::optional<Demand> demand(const Tree& t, std::size_t part) {
  if (t.node != Node::kBinary) return std::nullopt;
  const Tree* field = t.args[0].get();
  const Tree* other = t.args[1].get();
  if (t.op == Op::kEqual && field->node == Node::kConstant) std::swap(field, other);
  if (field->node != Node::kField || !indexable(field->type)) return std::nullopt;
  if (t.op == Op::kEqual && other->node == Node::kConstant)
    return Demand{field->field, {&other->constant}, part};
  if (t.op != Op::kIn || other->node != Node::kList) return std::nullopt;
  Demand d{field->field, {}, part};
  for (const auto& a : other->args) d.values.push_back(&a->constant);
  return d;
}

}  // namespace

std::optional<RuleSet> RuleSet::make(const std::vector<RuleSource>& sources, const Definitions& definitions,
                                     const NetworkSets& sets, const Limits& limits, const Budget& budget,
                                     const std::vector<bool>& ordered, std::vector<RuleFault>& faults) {
  const std::size_t before = faults.size();
  if (sources.size() > budget.rules) {
    faults.push_back({0,
                      "",
                      {{},
                       std::to_string(sources.size()) + " rules, at most " + std::to_string(budget.rules) +
                           " are allowed"}});
    return std::nullopt;
  }
  RuleSet set;
  std::vector<std::unique_ptr<Tree>> trees;
  for (std::size_t i = 0; i < sources.size(); ++i) {
    const RuleSource& s = sources[i];
    Rule r;
    r.name = s.name;
    r.profile = s.profile;
    r.turn_back = s.turn_back;
    r.most_share = s.most_share;
    r.labels = s.labels;
    const auto compiled = [&](const std::string& source, const char* field, Type type,
                              std::unique_ptr<Tree>& tree) {
      std::vector<Fault> here;
      std::optional<Program> p;
      tree = parse(source, limits, here);
      if (tree && definitions.expand(tree, limits, here)) p = compile(*tree, sets, limits, type, here);
      for (Fault& f : here) faults.push_back({i, field, std::move(f)});
      return p;
    };
    std::unique_ptr<Tree> tree;
    std::unique_ptr<Tree> own;
    const auto when = compiled(s.when, "when", kBool, tree);
    if (!s.key.empty()) {
      r.key = compiled(s.key, "key", kUint, own);
      // Danger: a client's repeat with another key would pass what it must wait for.
      if (r.key && !r.key->stable && s.profile >= 0 && ordered[static_cast<std::size_t>(s.profile)]) {
        faults.push_back(
            {i,
             "key",
             {{},
              "the key of a profile in order must be the same for every try; it reads a field that is not"}});
      }
      if (r.key) set.cost_ += r.key->cost;
    }
    if (!s.units.empty()) {
      r.units = compiled(s.units, "units", kUint, own);
      if (r.units) set.cost_ += r.units->cost;
    }
    if (!when) continue;
    r.cost = when->cost;
    r.stable = when->stable;
    if (r.key && !r.stable && s.profile >= 0 && ordered[static_cast<std::size_t>(s.profile)]) {
      faults.push_back({i,
                        "when",
                        {{},
                         "a rule that gives the key of a profile in order must hold for every try or none; "
                         "it reads a field that may change"}});
    }
    set.rules_.push_back(std::move(r));
    trees.push_back(std::move(tree));
  }
  if (faults.size() > before) return std::nullopt;

  // Which parts several rules ask for.
  std::vector<std::vector<Demand>> all(trees.size());
  std::vector<std::vector<std::string>> parts(trees.size());  // as printed, which parses to the same again
  std::array<std::size_t, kFields> asked{};
  std::unordered_map<std::string, int> users;
  for (std::size_t i = 0; i < trees.size(); ++i) {
    std::vector<Tree*> split_up;
    split(*trees[i], split_up);
    for (const Tree* t : split_up) {
      if (auto d = demand(*t, parts[i].size())) {
        ++asked[static_cast<std::size_t>(d->field)];
        all[i].push_back(std::move(*d));
      }
      parts[i].push_back(t->print());
      ++users[parts[i].back()];
    }
  }

  // Each rule goes by the demand that tells it best from the others: the one whose values the fewest rules
  // demand; among equals, of the field that most rules name, so that few look-ups find nearly all. What the
  // look-up proves need not be worked out again.
  const auto value_of = [](int field, const Constant& c) {
    return std::to_string(field) + (c.type == kString ? "'" + c.bytes : "=" + std::to_string(c.value.u));
  };
  std::unordered_map<std::string, std::size_t> popular;
  for (const auto& demands : all) {
    for (const Demand& d : demands) {
      for (const Constant* c : d.values) ++popular[value_of(d.field, *c)];
    }
  }
  const auto crowd = [&](const Demand& d) {
    std::size_t most = 0;
    for (const Constant* c : d.values) most = std::max(most, popular[value_of(d.field, *c)]);
    return most;
  };
  struct Lists {
    std::map<std::uint64_t, std::vector<std::uint32_t>> words;
    std::map<std::string, std::vector<std::uint32_t>> texts;
  };
  std::map<int, Lists> lists;
  std::vector<std::uint32_t> each;
  for (std::size_t i = 0; i < trees.size(); ++i) {
    const auto best = std::min_element(all[i].begin(), all[i].end(), [&](const Demand& a, const Demand& b) {
      const std::size_t ca = crowd(a);
      const std::size_t cb = crowd(b);
      return ca != cb ? ca < cb
                      : asked[static_cast<std::size_t>(a.field)] > asked[static_cast<std::size_t>(b.field)];
    });
    if (best == all[i].end()) {
      each.push_back(static_cast<std::uint32_t>(i));
      set.found_by_.push_back("each");
      continue;
    }
    set.found_by_.push_back(fields()[static_cast<std::size_t>(best->field)].name);
    for (const Constant* c : best->values) {
      Lists& l = lists[best->field];
      auto& list = c->type == kString ? l.texts[c->bytes] : l.words[c->value.u];
      if (list.empty() || list.back() != i) list.push_back(static_cast<std::uint32_t>(i));
    }
    --users[parts[i][best->part]];
    parts[i].erase(parts[i].begin() + static_cast<std::ptrdiff_t>(best->part));
  }
  const auto lay = [&](const std::vector<std::uint32_t>& list) {
    const auto from = static_cast<std::uint32_t>(set.candidates_.size());
    set.candidates_.insert(set.candidates_.end(), list.begin(), list.end());
    return Stretch{from, static_cast<std::uint32_t>(set.candidates_.size())};
  };
  set.each_ = lay(each);
  for (const auto& [field, l] : lists) {
    Index& index = set.indexes_.emplace_back();
    index.field = field;
    for (const auto& [value, list] : l.words) index.words[value] = lay(list);
    for (const auto& [value, list] : l.texts) index.texts[value] = lay(list);
  }
  // A shared part is one program; what stands between such parts is one more.
  Limits wide = limits;  // for what was sound already, written out with all its brackets
  wide.source *= 8;
  wide.nodes *= 2;
  wide.nesting *= 4;
  std::unordered_map<std::string, std::uint32_t> made;
  const auto program_of = [&](const std::string& source, bool shared) -> bool {
    std::vector<Fault> here;
    auto program = compile(source, sets, wide, kBool, here);
    if (!program) return faults.push_back({0, "", {{}, "a part cannot stand alone: " + source}}), false;
    set.cost_ += program->cost;
    set.parts_.push_back({std::move(*program), shared ? static_cast<int>(set.shared_++) : -1});
    return true;
  };
  for (std::size_t i = 0; i < trees.size(); ++i) {
    Rule& r = set.rules_[i];
    std::string between;
    const auto close = [&] {
      if (between.empty()) return true;
      r.parts.push_back(static_cast<std::uint32_t>(set.parts_.size()));
      return program_of(std::exchange(between, ""), false);
    };
    for (const std::string& part : parts[i]) {
      if (users[part] < 2) {
        between += (between.empty() ? "(" : " && (") + part + ")";
        continue;
      }
      if (!close()) return std::nullopt;
      const auto [at, fresh] = made.emplace(part, static_cast<std::uint32_t>(set.parts_.size()));
      if (fresh && !program_of(part, true)) return std::nullopt;
      r.parts.push_back(at->second);
    }
    if (!close()) return std::nullopt;
  }
  if (set.cost_ > budget.cost) {
    faults.push_back({0,
                      "",
                      {{},
                       "all rules together may cost " + std::to_string(set.cost_) + " steps, at most " +
                           std::to_string(budget.cost) + " are allowed"}});
    return std::nullopt;
  }
  return set;
}

bool RuleSet::holds(const Part& part, Machine& machine, const Record& record, Failure& failure) const {
  Value v;
  if (part.slot < 0) {
    failure = machine.run(part.program, record, v);
    return failure == Failure::kNone && v.b;
  }
  Machine::Known& k = machine.known(static_cast<std::size_t>(part.slot));
  if (!k.worked_out) {
    k.failure = machine.run(part.program, record, v);
    k.holds = k.failure == Failure::kNone && v.b;
    k.worked_out = true;
  }
  failure = k.failure;
  return k.holds;
}

RuleSet::Match RuleSet::match(Machine& machine, const Record& record, int from) const {
  machine.forget(shared_);
  // The candidates of each index, merged in the order of the rules.
  std::array<std::pair<const std::uint32_t*, const std::uint32_t*>, kFields + 1> lists;
  std::size_t count = 0;
  const auto add = [&](Stretch s) {
    const std::uint32_t* const end = candidates_.data() + s.to;
    const std::uint32_t* const at =
        std::lower_bound(candidates_.data() + s.from, end, static_cast<std::uint32_t>(from));
    if (at != end) lists[count++] = {at, end};
  };
  if (each_.to > 0) add(each_);
  for (const Index& index : indexes_) {
    const Value& v = record.values[static_cast<std::size_t>(index.field)];
    if (!index.texts.empty()) {
      if (const auto f = index.texts.find(v.s.view()); f != index.texts.end()) add(f->second);
    } else if (const auto f = index.words.find(v.u); f != index.words.end()) {
      add(f->second);
    }
  }
  Match m;
  while (count > 0) {
    std::size_t least = 0;
    for (std::size_t i = 1; i < count; ++i) {
      if (*lists[i].first < *lists[least].first) least = i;
    }
    const std::uint32_t rule = *lists[least].first++;
    if (lists[least].first == lists[least].second) lists[least] = lists[--count];
    Failure failure = Failure::kNone;
    const auto& parts = rules_[rule].parts;
    if (std::all_of(parts.begin(), parts.end(),
                    [&](std::uint32_t p) { return holds(parts_[p], machine, record, failure); })) {
      m.rule = static_cast<int>(rule);
      return m;
    }
    if (failure != Failure::kNone) {
      ++m.failures;
      m.failed = static_cast<int>(rule);
      m.failure = failure;
    }
  }
  return m;
}

std::string RuleSet::index_of(int rule) const { return found_by_[static_cast<std::size_t>(rule)]; }

}  // namespace heronworks::expr
