// The program's part on the platform: configuration, signals, one scheduler until it is told to go.
#pragma once

namespace heronworks::platform {

// The exit code: 0 after SIGTERM or SIGINT, 2 if the configuration can't be used, 1 if there is no listening.
int run();

}  // namespace heronworks::platform
