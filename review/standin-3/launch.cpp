// Runs a program that ends together with the script that starts it, however the script ends.
// Usage: launch PROGRAM [ARGUMENT...]

#include <csignal>
#include <sys/prctl.h>
#include <unistd.h>

int main(int argc, char** argv)
{
    const pid_t parent = getppid();
    if (argc < 2 || prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 || getppid() != parent)
        return 2;
    execvp(argv[1], argv + 1);
    return 2;
}
