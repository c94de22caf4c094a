/** @file main.cpp Command line: finds the subcommand and runs it. */
#include "cli_func.hpp"

int main(int argc, char** argv)
{
    return sniperock::run_command_line({argv + 1, argv + argc});
}
