# Fish completion of hawthornkeel.

set -l commands check trial run submit status take-out bring-back rollout roll-back rollouts keys explain
set -l rollouts rollout roll-back rollouts
set -l orders submit take-out bring-back

complete -c hawthornkeel -f
complete -c hawthornkeel -s h -l help -d 'Print help'
complete -c hawthornkeel -s V -l version -d 'Print the version'

set -l first "not __fish_seen_subcommand_from $commands"
complete -c hawthornkeel -n "$first" -a check -d 'Check settings and environment documents'
complete -c hawthornkeel -n "$first" -a trial -d 'Run a document with built-in targets'
complete -c hawthornkeel -n "$first" -a run -d 'Run an instance'
complete -c hawthornkeel -n "$first" -a submit -d 'Submit an environment document'
complete -c hawthornkeel -n "$first" -a status -d 'Show the state of an instance'
complete -c hawthornkeel -n "$first" -a take-out -d 'Take a data centre out of service'
complete -c hawthornkeel -n "$first" -a bring-back -d 'Bring a data centre back into service'
complete -c hawthornkeel -n "$first" -a rollout -d 'Move the requests to a pool to one version'
complete -c hawthornkeel -n "$first" -a roll-back -d 'Roll the running rollout of a pool back'
complete -c hawthornkeel -n "$first" -a rollouts -d 'Show the last rollout of each pool'
complete -c hawthornkeel -n "$first" -a keys -d 'Make certificates for instances'
complete -c hawthornkeel -n "$first" -a explain -d 'Tell from logs what happened to a request'

complete -c hawthornkeel -n '__fish_seen_subcommand_from check trial submit keys explain' -F
complete -c hawthornkeel -n '__fish_seen_subcommand_from trial' -l listen -x -d 'Address for callers'
complete -c hawthornkeel -n '__fish_seen_subcommand_from run' -l settings -r -F -d 'Settings'
complete -c hawthornkeel -n "__fish_seen_subcommand_from status $orders $rollouts" -l admin -x -d 'Admin address'
complete -c hawthornkeel -n "__fish_seen_subcommand_from $orders" -l operator -x -d 'Who orders'
complete -c hawthornkeel -n "__fish_seen_subcommand_from $orders" -l operation -x -d 'Operation number'
complete -c hawthornkeel -n '__fish_seen_subcommand_from rollout' -l duration -x -d 'Seconds until its end'
complete -c hawthornkeel -n '__fish_seen_subcommand_from submit' -l expected -x -d 'Version replaced'
