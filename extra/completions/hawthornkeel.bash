# Bash completion of hawthornkeel.

_hawthornkeel() {
    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
    local command=${COMP_WORDS[1]} options='--help --version'
    COMPREPLY=()
    if ((COMP_CWORD == 1)); then
        options+=' check trial run submit status take-out bring-back rollout roll-back rollouts keys explain'
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
        return
    fi
    case $previous in
        --settings)
            mapfile -t COMPREPLY < <(compgen -f -- "$current")
            return
            ;;
        --admin | --duration | --expected | --listen | --operation | --operator) return ;;
    esac
    case $command in
        trial) options+=' --listen' ;;
        run) options+=' --settings' ;;
        submit) options+=' --admin --operator --operation --expected' ;;
        rollout) options+=' --admin --duration' ;;
        status | roll-back | rollouts) options+=' --admin' ;;
        take-out | bring-back) options+=' --admin --operator --operation' ;;
    esac
    if [[ $current == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$options" -- "$current")
    else
        case $command in
            check | trial | submit | keys | explain) mapfile -t COMPREPLY < <(compgen -f -- "$current") ;;
        esac
    fi
}

complete -o filenames -F _hawthornkeel hawthornkeel
