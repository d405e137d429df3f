// Entry point of `heronworks platform`.
#pragma once

namespace heronworks::platform {

// Reads the configuration from the environment and runs one scheduler until SIGTERM or SIGINT; SIGHUP reloads
// the configuration. Returns the exit code: 0 after a drain, 2 if the configuration is invalid. Throws
// std::runtime_error if it cannot listen.
int run();

}  // namespace heronworks::platform
