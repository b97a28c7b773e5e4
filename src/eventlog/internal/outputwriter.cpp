#include "eventlog/eventlog.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace rosemaryshift::eventlog {

namespace {

class OutputWriter : public ILineWriter
{
public:
    std::size_t write(std::string_view bytes) override
    {
        std::size_t written = 0;
        while (written < bytes.size() && ready()) {
            // A pipe that poll() reports as ready accepts PIPE_BUF bytes without blocking.
            const std::size_t chunk = std::min<std::size_t>(bytes.size() - written, PIPE_BUF);
            const ssize_t count = ::write(STDOUT_FILENO, bytes.data() + written, chunk);
            if (count <= 0) {
                break;
            }
            written += static_cast<std::size_t>(count);
        }
        return written;
    }

private:
    static bool ready()
    {
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    }
};

}

std::unique_ptr<ILineWriter> makeOutputWriter()
{
    return std::make_unique<OutputWriter>();
}

}
