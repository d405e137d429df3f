// Reads and checks TOML files. Collects every problem of a file, with its position, instead of throwing at
// the first.
#pragma once

#include <toml++/toml.h>

#include <set>
#include <string>
#include <vector>

namespace heronworks::config {

struct Problem {
  std::string file;
  std::size_t line = 0;
  std::size_t column = 0;
  std::string field;
  std::string text;
  std::string to_string() const;  // "file:line:column: field: text"
};

using Problems = std::vector<Problem>;

// One table of a file. A key becomes known when it is read. A read function that finds an invalid value adds
// a problem and returns the default; a require function also adds a problem if the key is missing.
class Section {
 public:
  Section(const toml::table& table, std::string path, std::string file, Problems& problems)
      : table_(&table), path_(std::move(path)), file_(std::move(file)), problems_(&problems) {}

  double number(const std::string& key, double default_value, double min, double max);
  double require_number(const std::string& key, double min, double max);
  std::int64_t integer(const std::string& key, std::int64_t default_value, std::int64_t min,
                       std::int64_t max);
  std::int64_t require_integer(const std::string& key, std::int64_t min, std::int64_t max);
  std::string text(const std::string& key, const std::string& default_value);
  std::string require_text(const std::string& key);
  bool flag(const std::string& key, bool default_value);
  // The position of the value in `words`. A default below 0 makes the key required; it is returned, with a
  // problem, if the key is missing or its value is not one of the words.
  int one_of(const std::string& key, const std::vector<std::string>& words, int default_value);
  std::vector<std::string> texts(const std::string& key);
  std::vector<std::string> keys() const;
  std::vector<double> numbers(const std::string& key, double min, double max);
  // A subtable; an empty one if the key is missing.
  Section section(const std::string& key);
  std::vector<Section> list(const std::string& key);
  bool has(const std::string& key) const { return table_->contains(key); }

  // Adds a problem at the key's position, or at the table's if the key is empty or missing.
  void add_problem(const std::string& key, const std::string& text) const;
  // Adds a problem for each key that is not known, with the most similar known key.
  void reject_unknown_keys() const;

 private:
  const toml::node* find(const std::string& key);  // makes the key known
  std::string field(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  const toml::table* table_;
  std::string path_;
  std::string file_;
  Problems* problems_;
  std::set<std::string> known_keys_;
};

// Parses a file; adds a problem and returns an empty table if it cannot be read or is not valid TOML.
toml::table load_toml(const std::string& path, Problems& problems);

}  // namespace heronworks::config
