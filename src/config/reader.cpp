#include "config/reader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "expr/suggest.h"

namespace heronworks::config {
namespace {

std::string to_text(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::string Problem::to_string() const {
  return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": " +
         (field.empty() ? "" : field + ": ") + text;
}

void Section::add_problem(const std::string& key, const std::string& text) const {
  const toml::node* node = key.empty() ? nullptr : table_->get(key);
  const auto& source = node ? node->source() : table_->source();
  problems_->push_back({file_, source.begin.line, source.begin.column, field(key), text});
}

const toml::node* Section::find(const std::string& key) {
  known_keys_.insert(key);
  return table_->get(key);
}

double Section::number(const std::string& key, double default_value, double min, double max) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  const auto value = node->value<double>();
  if (!value || !std::isfinite(*value)) return add_problem(key, "must be a number"), default_value;
  if (*value < min || *value > max) {
    return add_problem(key,
                       "must be from " + to_text(min) + " to " + to_text(max) + ", is " + to_text(*value)),
           default_value;
  }
  return *value;
}

double Section::require_number(const std::string& key, double min, double max) {
  if (!has(key)) return find(key), add_problem("", "'" + key + "' is missing"), min;
  return number(key, min, min, max);
}

std::int64_t Section::integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                              std::int64_t max) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  const auto value = node->value_exact<std::int64_t>();
  if (!value) return add_problem(key, "must be an integer"), default_value;
  if (*value < min || *value > max) {
    return add_problem(key, "must be from " + std::to_string(min) + " to " + std::to_string(max) + ", is " +
                                std::to_string(*value)),
           default_value;
  }
  return *value;
}

std::int64_t Section::require_integer(const std::string& key, std::int64_t min, std::int64_t max) {
  if (!has(key)) return find(key), add_problem("", "'" + key + "' is missing"), min;
  return integer(key, min, min, max);
}

std::string Section::text(const std::string& key, const std::string& default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  const auto value = node->value_exact<std::string>();
  if (!value) return add_problem(key, "must be a string"), default_value;
  return *value;
}

std::string Section::require_text(const std::string& key) {
  if (!has(key)) return find(key), add_problem("", "'" + key + "' is missing"), "";
  return text(key, "");
}

bool Section::flag(const std::string& key, bool default_value) {
  const toml::node* node = find(key);
  if (!node) return default_value;
  const auto value = node->value_exact<bool>();
  if (!value) return add_problem(key, "must be true or false"), default_value;
  return *value;
}

int Section::one_of(const std::string& key, const std::vector<std::string>& words, int default_value) {
  const toml::node* node = find(key);
  if (!node) {
    if (default_value < 0) add_problem("", "'" + key + "' is missing");
    return default_value;
  }
  const auto value = node->value_exact<std::string>();
  if (value) {
    for (std::size_t i = 0; i < words.size(); ++i) {
      if (words[i] == *value) return static_cast<int>(i);
    }
  }
  std::string alternatives;
  for (const std::string& word : words) alternatives += (alternatives.empty() ? "" : ", ") + word;
  const std::string suggestion = value ? expr::suggest(*value, words) : "";
  add_problem(key, "must be one of " + alternatives +
                       (suggestion.empty() ? "" : "; did you mean " + suggestion + "?"));
  return default_value;
}

std::vector<double> Section::numbers(const std::string& key, double min, double max) {
  std::vector<double> out;
  const toml::node* node = find(key);
  if (!node) return out;
  const auto* array = node->as_array();
  if (!array) return add_problem(key, "must be an array of numbers"), out;
  for (const auto& item : *array) {
    const auto value = item.value<double>();
    if (!value || !std::isfinite(*value) || *value < min || *value > max) {
      add_problem(key, "each element must be a number from " + to_text(min) + " to " + to_text(max));
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
  if (!array) return add_problem(key, "must be an array of strings"), out;
  for (const auto& item : *array) {
    const auto value = item.value_exact<std::string>();
    if (!value) return add_problem(key, "each element must be a string"), out;
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
  if (node && !table) add_problem(key, "must be a table, [" + field(key) + "]");
  return {table ? *table : kEmpty, field(key), file_, *problems_};
}

std::vector<Section> Section::list(const std::string& key) {
  std::vector<Section> out;
  const toml::node* node = find(key);
  if (!node) return out;
  const auto* array = node->as_array();
  if (!array) return add_problem(key, "must be an array of tables, [[" + field(key) + "]]"), out;
  for (std::size_t i = 0; i < array->size(); ++i) {
    const auto* table = (*array)[i].as_table();
    if (!table) return add_problem(key, "must be an array of tables, [[" + field(key) + "]]"), out;
    out.emplace_back(*table, field(key) + "[" + std::to_string(i) + "]", file_, *problems_);
  }
  return out;
}

void Section::reject_unknown_keys() const {
  const std::vector<std::string> words(known_keys_.begin(), known_keys_.end());
  for (const auto& [key, node] : *table_) {
    const std::string name(key.str());
    if (known_keys_.contains(name)) continue;
    const std::string suggestion = expr::suggest(name, words);
    problems_->push_back(
        {file_, key.source().begin.line, key.source().begin.column, field(name),
         "unknown key" + (suggestion.empty() ? std::string() : "; did you mean " + suggestion + "?")});
  }
}

toml::table load_toml(const std::string& path, Problems& problems) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    problems.push_back(
        {path, error.source().begin.line, error.source().begin.column, "", std::string(error.description())});
    return {};
  }
}

}  // namespace heronworks::config
