Feature: The commands report what happened and what to do next

  # Guards against an invalid text that a script takes for a valid one, and
  # against an error that does not show the operator what to correct.
  Scenario: Check prints each problem and exits with 3
    Given the file "text.json" with an unknown key
    When the command "check text.json" runs
    Then it exits with 3 and prints "line 2, column 43: unknown key "slotz" in service "lanes"; did you mean "slots"?"

  # Guards against a traceback in place of the names of the missing settings.
  Scenario: A node that cannot start prints one line and exits with 64
    Given the file "node.json" with the text "{}"
    When the command "node node.json" runs
    Then it exits with 64 and prints "node.json: line 1, column 1: missing in the settings: "cluster", "secret""
    And it printed one line

  # Guards against an incomplete command that a script takes for a successful
  # one, and against an error that does not name the missing argument.
  Scenario: Wrong usage exits with 2
    When the command "publish" runs
    Then it exits with 2 and prints "requires an argument"
    When the command "status" runs
    Then it exits with 2 and prints "give --node IP:PORT"

  # Guards against an executable that does not show an operator which release it
  # is.
  Scenario: The option --version prints the version
    When the command "--version" runs
    Then it exits with 0 and prints "0.1.0"

  # Guards against an operator who does not know whether the publication may
  # still take effect, or a script that takes it for published.
  Scenario: Nothing is published if the log can't be reached
    Given the file "text.json" with all zones in service
    When the command "publish text.json --yes --patience 0.2 --log 127.0.0.1:1" runs
    Then it exits with 5 and prints "Nothing was published"

  # Guards against a change that is published without the operator's consent,
  # twice, or over a version that the operator has not seen, and against a
  # success that is reported while nodes run an older version or can't be
  # reached.
  Scenario: A published change reaches running nodes and status shows it
    Given a running log and 3 running nodes
    And the file "text.json" with all zones in service
    And the file "out.json" with zone "costa-b" out of service
    When the command "publish text.json --log LOG" runs
    Then it exits with 2 and prints "Use --yes"
    When the operator answers "n" to the command "publish text.json --log LOG"
    Then it exits with 1 and prints "Nothing was published."
    When the operator answers "y" to the command "publish text.json --log LOG --node NODE --wait 5"
    Then it exits with 0 and prints "accepted as version 1 at offset 0"
    When the command "publish text.json --log LOG" runs
    Then it exits with 0 and prints "text.json is in force already as version 1"
    When the command "publish out.json --log LOG --yes --base 7" runs
    Then it exits with 4 and prints "Version 1 is in force"
    When the command "publish out.json --log LOG --node NODE --yes --wait 5" runs
    Then it exits with 0 and prints "- takes availability zone costa-b out of service"
    And it prints "3 nodes run version 2"
    When the command "status --node NODE --log LOG" runs
    Then it exits with 0 and prints "3 of 3 nodes run version 2"
    And it prints "lanes-costa-b"
    When the command "status --node NODE --json" runs
    Then it prints JSON with 3 nodes at version 2
    When node "lanes-costa-b" is stopped
    And the command "status --node NODE" runs
    Then it exits with 7 and prints "NOT REACHED: lanes-costa-b"
