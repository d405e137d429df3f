// TOML with places: see reader.h.
#include "config/reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "expr/suggest.h"

namespace heronworks::config {
namespace {

std::string shown(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::string Problem::shown() const {
  return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " +
         (field.empty() ? "" : field + ": ") + text;
}

void Section::complain(const std::string& key, const std::string& text) const {
  const toml::node* node = key.empty() ? nullptr : table_->get(key);
  const auto& place = node ? node->source() : table_->source();
  problems_->push_back({file_, place.begin.line, place.begin.column, field(key), text});
}

const toml::node* Section::find(const std::string& key) {
  known_.insert(key);
  return table_->get(key);
}

double Section::number(const std::string& key, double absent, double least, double most) {
  const toml::node* node = find(key);
  if (!node) return absent;
  const auto value = node->value<double>();
  if (!value || !std::isfinite(*value)) return complain(key, "must be a number"), absent;
  if (*value < least || *value > most) {
    return complain(key, "must be from " + shown(least) + " to " + shown(most) + ", is " + shown(*value)),
           absent;
  }
  return *value;
}

double Section::need_number(const std::string& key, double least, double most) {
  if (!has(key)) return find(key), complain("", "'" + key + "' is missing"), least;
  return number(key, least, least, most);
}

std::int64_t Section::integer(const std::string& key, std::int64_t absent, std::int64_t least,
                              std::int64_t most) {
  const toml::node* node = find(key);
  if (!node) return absent;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) return complain(key, "must be a whole number"), absent;
  if (*value < least || *value > most) {
    return complain(key, "must be from " + std::to_string(least) + " to " + std::to_string(most) + ", is " +
                             std::to_string(*value)),
           absent;
  }
  return *value;
}

std::int64_t Section::need_integer(const std::string& key, std::int64_t least, std::int64_t most) {
  if (!has(key)) return find(key), complain("", "'" + key + "' is missing"), least;
  return integer(key, least, least, most);
}

std::string Section::text(const std::string& key, const std::string& absent) {
  const toml::node* node = find(key);
  if (!node) return absent;
  const auto value = node->value_exact<std::string>();
  if (!value) return complain(key, "must be a text"), absent;
  return *value;
}

std::string Section::need_text(const std::string& key) {
  if (!has(key)) return find(key), complain("", "'" + key + "' is missing"), "";
  return text(key, "");
}

bool Section::flag(const std::string& key, bool absent) {
  const toml::node* node = find(key);
  if (!node) return absent;
  const auto value = node->value_exact<bool>();
  if (!value) return complain(key, "must be true or false"), absent;
  return *value;
}

int Section::one_of(const std::string& key, const std::vector<std::string>& words, int absent) {
  const toml::node* node = find(key);
  if (!node) {
    if (absent < 0) complain("", "'" + key + "' is missing");
    return absent;
  }
  const auto value = node->value_exact<std::string>();
  if (value) {
    for (std::size_t i = 0; i < words.size(); ++i) {
      if (words[i] == *value) return static_cast<int>(i);
    }
  }
  std::string all;
  for (const std::string& w : words) all += (all.empty() ? "" : ", ") + w;
  const std::string near = value ? expr::suggest(*value, words) : "";
  complain(key, "must be one of " + all + (near.empty() ? "" : "; did you mean " + near + "?"));
  return absent;
}

std::vector<double> Section::numbers(const std::string& key, double least, double most) {
  std::vector<double> out;
  const toml::node* node = find(key);
  if (!node) return out;
  const auto* array = node->as_array();
  if (!array) return complain(key, "must be a list of numbers"), out;
  for (const auto& item : *array) {
    const auto value = item.value<double>();
    if (!value || !std::isfinite(*value) || *value < least || *value > most) {
      complain(key, "each must be a number from " + shown(least) + " to " + shown(most));
      return out;
    }
    out.push_back(*value);
  }
  return out;
}

std::vector<std::string> Section::texts(const std::string& key) {
  std::vector<std::string> out;
  const toml::node* node = find(key);
  if (!node) return out;
  const auto* array = node->as_array();
  if (!array) return complain(key, "must be a list of texts"), out;
  for (const auto& item : *array) {
    const auto value = item.value_exact<std::string>();
    if (!value) return complain(key, "each must be a text"), out;
    out.push_back(*value);
  }
  return out;
}

std::vector<std::string> Section::keys() const {
  std::vector<std::string> out;
  for (const auto& [key, node] : *table_) out.emplace_back(key.str());
  return out;
}

Section Section::section(const std::string& key) {
  static const toml::table kEmpty;
  const toml::node* node = find(key);
  const toml::table* table = node ? node->as_table() : nullptr;
  if (node && !table) complain(key, "must be a table, [" + field(key) + "]");
  return {table ? *table : kEmpty, field(key), file_, *problems_};
}

std::vector<Section> Section::list(const std::string& key) {
  std::vector<Section> out;
  const toml::node* node = find(key);
  if (!node) return out;
  const auto* array = node->as_array();
  if (!array) return complain(key, "must be tables, [[" + field(key) + "]]"), out;
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto* table = (*array)[i].as_table();
    if (!table) return complain(key, "must be tables, [[" + field(key) + "]]"), out;
    out.emplace_back(*table, field(key) + "[" + std::to_string(i) + "]", file_, *problems_);
  }
  return out;
}

void Section::finish() const {
  const std::vector<std::string> words(known_.begin(), known_.end());
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (known_.contains(name)) continue;
    const std::string near = expr::suggest(name, words);
    problems_->push_back({file_, key.source().begin.line, key.source().begin.column, field(name),
                          "unknown" + (near.empty() ? std::string() : "; did you mean " + near + "?")});
  }
}

toml::table load(const std::string& path, Problems& problems) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    problems.push_back(
        {path, error.source().begin.line, error.source().begin.column, "", std::string(error.description())});
    return {};
  }
}

}  // namespace heronworks::config
