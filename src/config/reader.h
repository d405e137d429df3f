// Reads TOML with a place for each complaint. All problems of a file are gathered, none is thrown.
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
  std::string shown() const;  // "file:line:column: field: text"
};

using Problems = std::vector<Problem>;

// One table of a file. Each key asked for is known; `finish` complains of the others, with the nearest name.
class Section {
 public:
  Section(const toml::table& table, std::string path, std::string file, Problems& problems)
      : table_(&table), path_(std::move(path)), file_(std::move(file)), problems_(&problems) {}

  double number(const std::string& key, double absent, double least, double most);
  double need_number(const std::string& key, double least, double most);
  std::int64_t integer(const std::string& key, std::int64_t absent, std::int64_t least, std::int64_t most);
  std::int64_t need_integer(const std::string& key, std::int64_t least, std::int64_t most);
  std::string text(const std::string& key, const std::string& absent);
  std::string need_text(const std::string& key);
  bool flag(const std::string& key, bool absent);
  // The place of the word in `words`; -1 with a complaint if it is none of them or missing.
  int one_of(const std::string& key, const std::vector<std::string>& words, int absent);
  std::vector<std::string> texts(const std::string& key);
  std::vector<std::string> keys() const;
  std::vector<double> numbers(const std::string& key, double least, double most);
  // An empty section if the key is missing.
  Section section(const std::string& key);
  std::vector<Section> list(const std::string& key);
  bool has(const std::string& key) const { return table_->contains(key); }

  void complain(const std::string& key, const std::string& text) const;
  void finish() const;

 private:
  const toml::node* find(const std::string& key);
  std::string field(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

  const toml::table* table_;
  std::string path_;
  std::string file_;
  Problems* problems_;
  std::set<std::string> known_;
};

// The table of a file; problems where it cannot be read or is no TOML.
toml::table load(const std::string& path, Problems& problems);

}  // namespace heronworks::config
