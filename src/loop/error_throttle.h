// Slows down a connection that keeps sending what is invalid.
#pragma once

#include <algorithm>

namespace heronworks {

// Counts the invalid messages of one connection. The first few are answered like any others; after that the
// connection pauses behind each, and in the end it should be closed. Each valid message makes up for an
// invalid one.
class ErrorThrottle {
 public:
  static constexpr int kErrorsWithoutPause = 8;
  static constexpr int kMaxErrors = 64;
  static constexpr double kPauseSeconds = 0.05;

  enum class Verdict { kGoOn, kPause, kClose };

  Verdict on_error() {
    ++errors_;
    return errors_ >= kMaxErrors           ? Verdict::kClose
           : errors_ > kErrorsWithoutPause ? Verdict::kPause
                                           : Verdict::kGoOn;
  }
  void on_success() { errors_ = std::max(errors_ - 1, 0); }
  int errors() const { return errors_; }

 private:
  int errors_ = 0;
};

}  // namespace heronworks
